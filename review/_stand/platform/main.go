package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name.
var cases = map[string]func(w *world) int{
	"memory":    memoryCase,
	"departure": departureCase,
	"poison":    poisonCase,
	"roll":      rollCase,
	"tenants":   tenantsCase,
	"queued":    queuedCase,
}

// main runs the case in the first argument and writes its record to the file in the second.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(couldNot)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], record))
}

func run(play func(w *world) int, record *os.File) int {
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	code := play(w)
	w.logf("result: %d", code)
	w.close()
	_ = record.Close()
	return code
}
