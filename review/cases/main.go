// Command cases plays the cases of the review that are scripts.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// withTrouble is the argument with which a case has its disruption.
const withTrouble = "trouble"

// cases returns whether a rule was broken, and how.
var cases = map[string]func(*record, bool) (violation string, err error){
	"silence": playSilence,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER trouble|calm")
		return notRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return notRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	violation, err := play(r, os.Args[3] == withTrouble)
	switch {
	case err != nil:
		r.add("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case violation != "":
		r.add("BROKEN: %s", violation)
		fmt.Println("broken:", violation)
		return broken
	}
	r.add("held")
	fmt.Println("held")
	return held
}
