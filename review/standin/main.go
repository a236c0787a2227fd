// Command standin plays the cases of the review: it starts the replica with the command of the deploy file, between stand-ins
// of its routers, engine, index, catalog and platform on loopback addresses, and judges what they see.
package main

import (
	"fmt"
	"os"
	"time"
)

// allowedLost is how many requests in 1,000 may be lost on days with trouble before the rule is broken.
const allowedLost = 3

// crossing is the time before the end of a connection in which a request crosses the close and is sent once more.
const crossing = 50 * time.Millisecond

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(dir string, trouble bool, rec *record) (broken int, err error){
	"feed":   feed,
	"forget": forget,
	"leak":   leak,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER RECORD, with RUN, ROOT and TROUBLE in the environment")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0", rec)
	code := 0
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		code = 2
	case broken > 0:
		rec.say("the rule was broken %d times", broken)
		code = 1
	default:
		rec.say("the rule held")
	}
	rec.close()
	os.Exit(code)
}
