// Command harness plays the cases of the second review: it starts the programs of the deploy file on
// loopback addresses, with small stand-ins for clients, servers and the operator, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: harness CASE RECORD"
)

// verdict is the outcome of a case.
type verdict struct {
	code int
	text string
}

func main() {
	// The children end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
	cases := map[string]func(record string, trouble bool) (*world, verdict){"route": routeCase, "writer": writerCase, "place": placeCase, "split": splitCase}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
	// A signal ends the harness; the processes that it started end with it.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stop; os.Exit(couldNot) }()
	w, v := play(os.Args[2], os.Getenv("TROUBLE") != "0")
	if w != nil {
		w.log("result %d: %s", v.code, v.text)
		w.close()
	}
	fmt.Println(v.text)
	os.Exit(v.code)
}

func failed(w *world, err error) (*world, verdict) {
	return w, verdict{couldNot, "the case could not run: " + err.Error()}
}
