// Command cases runs the scripts of the review: a small deployment of the project's own host processes
// with stand-ins for the platform's store, runners and clients. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// playTime bounds a case. Its processes are ended then, and on a signal.
const playTime = 100 * time.Second

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"weights":   weights,
	"signature": signature,
	"upgrade":   upgrade,
	"entry":     entry,
	"memory":    memory,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runnerMain(os.Args[2:]))
	}
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE HOST-PROGRAM RECORD TROUBLE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func play(name, program, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	end := sync.OnceFunc(f.close)
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(playTime):
		}
		end()
		os.Exit(2)
	}()
	broken, err := cases[name](f, trouble)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.printf("trouble %v, rule broken %v", trouble, broken)
	fmt.Printf("%s: trouble %v, rule broken %v\n", name, trouble, broken)
	if broken {
		return 1
	}
	return 0
}
