package rig

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	caseLimit = 110 * time.Second
)

// Case is what a case starts and ends.
type Case struct {
	*Record
	Store *Store
	Hosts []*Host
	// Proxies are the ways of the hosts to the store.
	Proxies []*Proxy
	// Trouble is false if the disruption is left out.
	Trouble bool
	dir     string
	cleanup []func()
}

// Run runs a case and ends the process with its status. f returns whether the rule was broken, or an
// error if the case couldn't run.
func Run(f func(*Case) (bool, error)) {
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(run(*path, f))
}

func run(path string, f func(*Case) (bool, error)) int {
	rec, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.Close()
	c := &Case{Record: rec, Trouble: os.Getenv("TROUBLE") != "0"}
	defer c.close()
	time.AfterFunc(caseLimit, func() {
		rec.Printf("the case takes too long")
		c.close()
		os.Exit(couldNot)
	})
	if c.dir, err = os.MkdirTemp("", "review"); err == nil {
		c.Store, err = NewStore()
	}
	isBroken := false
	if err == nil {
		isBroken, err = f(c)
	}
	switch {
	case err != nil:
		rec.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case isBroken:
		rec.Printf("the rule was broken")
		return broken
	}
	rec.Printf("the rule held")
	return held
}

// StartHosts starts n hosts, each with a way of its own to the store, and waits until they are ready.
func (c *Case) StartHosts(n int) error {
	for i := range n {
		p, err := NewProxy(c.Store.Address())
		if err != nil {
			return err
		}
		c.Proxies = append(c.Proxies, p)
		h, err := NewHost(c.dir, i+1, p.Address())
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
		c.Hosts = append(c.Hosts, h)
	}
	return AwaitReady(c.Hosts)
}

// OnClose registers a function that is called at the end of the case.
func (c *Case) OnClose(f func()) { c.cleanup = append(c.cleanup, f) }

// close ends all that the case has started. With KEEP_LOGS set it keeps the logs of the hosts.
func (c *Case) close() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, p := range c.Proxies {
		p.Close()
	}
	for _, f := range c.cleanup {
		f()
	}
	if c.Store != nil {
		c.Store.Close()
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		for _, h := range c.Hosts {
			_ = os.Rename(h.settings+".log", filepath.Join(to, h.Name+".log"))
		}
	}
	_ = os.RemoveAll(c.dir)
}
