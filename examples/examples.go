// Package examples holds two deployments, peachtree and instituto, as trees and as
// settings of a node.
//
// # Usage
//
//	data, err := examples.Files.ReadFile("peachtree.ini")
package examples

import "embed"

// Files are the trees (peachtree.ini, instituto.ini) and the settings of one
// node of each (peachtree.node.ini, instituto.node.ini).
//
//go:embed *.ini
var Files embed.FS
