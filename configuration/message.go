package configuration

import "cicadapitch.example/cicadapitch"

// Message is an event that Next handles.
type Message interface{ isMessage() }

// Tick arrives once per tickInterval.
type Tick struct {
	Now cicadapitch.Instant
	// Revision is the revision in force on this host, 0 for none.
	Revision cicadapitch.Revision
	Self     cicadapitch.Member
	Members  []cicadapitch.Member
}

// FetchEnded reports the end of a Fetch.
type FetchEnded struct {
	Now cicadapitch.Instant
	Err error
}

// ReadEnded reports the end of a ReadStore. StoredRevision is the revision of the
// stored configuration, 0 for none.
type ReadEnded struct {
	Now            cicadapitch.Instant
	StoredRevision cicadapitch.Revision
	Err            error
}

// WatchEnded reports the end of a watch, whether it was stopped or failed.
type WatchEnded struct{ Now cicadapitch.Instant }

// HeadChanged reports a change of KeyHead seen by the watch.
type HeadChanged struct{ Now cicadapitch.Instant }

func (Tick) isMessage()        {}
func (FetchEnded) isMessage()  {}
func (ReadEnded) isMessage()   {}
func (WatchEnded) isMessage()  {}
func (HeadChanged) isMessage() {}

// Command is an action that Next requests and Syncer.Execute carries out.
type Command interface{ isCommand() }

// Fetch requests the changes since revision Have from a peer, or the whole
// configuration if Have is 0. It ends with FetchEnded.
type Fetch struct {
	From cicadapitch.Member
	Have cicadapitch.Revision
}

// ReadStore reads KeyHead and, if its revision is higher than the one in force,
// the configuration. It ends with ReadEnded.
type ReadStore struct{}

// StartWatch watches KeyHead. It ends with WatchEnded.
type StartWatch struct{}

// StopWatch cancels the watch.
type StopWatch struct{}

// Confirm marks the Follower as confirmed: the store was read, or enough ready
// peers have the revision of this host and none a higher one.
type Confirm struct{}

func (Fetch) isCommand()      {}
func (ReadStore) isCommand()  {}
func (StartWatch) isCommand() {}
func (StopWatch) isCommand()  {}
func (Confirm) isCommand()    {}
