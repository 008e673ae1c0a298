// Package examples holds the configuration trees of two example deployments, peachtree and
// instituto, and the settings file of one node of each.
//
// # Usage
//
//	data, err := examples.Files.ReadFile("peachtree.ini")
package examples

import "embed"

// Files holds the configuration trees (peachtree.ini, instituto.ini) and the settings files
// (peachtree.node.ini, instituto.node.ini).
//
//go:embed *.ini
var Files embed.FS
