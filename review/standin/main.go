// Command review-cases plays the cases of a review against the real programs: it starts
// them as separate processes on loopback addresses and stands in for the platform, the
// operator, the hosts and the clients.
//
// Usage: review-cases CASE FOLDER, in the root of the repository after the build of the
// deploy file. It writes FOLDER/record.txt. The exit code is 0 if the rule held, 1 if it
// was broken and 2 if the case could not run. With TROUBLE=0 in the environment, the same
// is done without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// cases maps each case to its function, which returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"replaced-then-wiped": replacedThenWiped,
	"evicted-then-wiped":  evictedThenWiped,
	"foreign-report":      foreignReport,
	"many-configs":        manyConfigs,
}

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		return notRun
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	w.logf("case %s, disruption %t", os.Args[1], w.trouble)
	isBroken, err := cases[os.Args[1]](w)
	err = errors.Join(err, w.failure())
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		return notRun
	case isBroken:
		w.logf("result: the rule was broken")
		return broken
	}
	w.logf("result: the rule held")
	return held
}
