// Program harness-3 plays the cases of the third review: it starts the project's programs on loopback addresses,
// plays clients, hosts and the operator, and checks one rule.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("rule broken")

// cases are the cases by name. Each returns errBroken if the rule was broken. Without trouble it does the same but
// for the disruption.
var cases = map[string]func(w *world, trouble bool) error{
	"unreadable-id": unreadableID,
	"dropped-route": droppedRoute,
	"lost-leave":    lostLeave,
	"replaced-core": replacedCore,
	"stopped-core":  stoppedCore,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		return exitFailed
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	record := bufio.NewWriter(f)
	defer record.Flush()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.cancel()
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with trouble: %t", os.Args[1], trouble)
	err = cases[os.Args[1]](w, trouble)
	switch {
	case err == nil && w.ctx.Err() != nil:
		err = errors.New("the time was over")
		fallthrough
	case err != nil:
		w.note("%v", err)
		fmt.Println(err)
	default:
		w.note("the rule held")
		fmt.Println("the rule held")
	}
	w.close()
	switch {
	case errors.Is(err, errBroken):
		return exitBroken
	case err != nil:
		return exitFailed
	}
	return exitHeld
}
