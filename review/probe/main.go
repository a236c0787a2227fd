// Command probe runs the cases of the second review. Each case starts the program's own processes with the command of the deploy
// file, plays routers, engine and platform beside them, and checks one rule. Exit codes: 0 the rule held, 1 it was broken, 2 the
// case could not be run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken is wrapped by the error of a case in which the rule was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(log *record, trouble bool) error{
	"6": doubtIsNotHandedOn,
	"7": badClientsFillMemory,
	"8": badClientsStarveRouters,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log := &record{start: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, with the disruption: %v", os.Args[1], trouble)
	err = cases[os.Args[1]](log, trouble)
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
		log.printf("BROKEN: %v", err)
	case err != nil:
		code = 2
		log.printf("NOT RUN: %v", err)
	default:
		log.printf("HELD")
	}
	fmt.Printf("case %s: exit %d: %v\n", os.Args[1], code, err)
	file.Close()
	os.Exit(code)
}
