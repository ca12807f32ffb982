package configuration

import "cicadapitch.example/cicadapitch"

// Message tells Update what happened.
type Message interface{ isMessage() }

// Tick comes several times a second.
type Tick struct {
	Now cicadapitch.Instant
	// Revision is in force on this host.
	Revision cicadapitch.Revision
	Self     cicadapitch.Member
	Members  []cicadapitch.Member
}

// Fetched ends a Fetch.
type Fetched struct {
	Now cicadapitch.Instant
	Err error
}

// StoreRead ends a ReadStore. Head is the revision that the store holds, 0 for
// none.
type StoreRead struct {
	Now  cicadapitch.Instant
	Head cicadapitch.Revision
	Err  error
}

// WatchEnded comes after a watch broke off.
type WatchEnded struct{ Now cicadapitch.Instant }

// HeadChanged comes with each change that a watch sees.
type HeadChanged struct{ Now cicadapitch.Instant }

func (Tick) isMessage()        {}
func (Fetched) isMessage()     {}
func (StoreRead) isMessage()   {}
func (WatchEnded) isMessage()  {}
func (HeadChanged) isMessage() {}

// Command is what Update wants done.
type Command interface{ isCommand() }

// Fetch asks a peer for what is newer than Have. It ends with Fetched.
type Fetch struct {
	From cicadapitch.Member
	Have cicadapitch.Revision
}

// ReadStore reads the head and, where it is higher than the revision in force,
// the configuration. It ends with StoreRead.
type ReadStore struct{}

// StartWatch watches the head. It ends with WatchEnded.
type StartWatch struct{}

// StopWatch ends the watch.
type StopWatch struct{}

// Confirm notes that no higher revision is known to the store or to peers.
type Confirm struct{}

func (Fetch) isCommand()      {}
func (ReadStore) isCommand()  {}
func (StartWatch) isCommand() {}
func (StopWatch) isCommand()  {}
func (Confirm) isCommand()    {}
