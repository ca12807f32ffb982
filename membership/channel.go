package membership

//go:generate go tool -modfile=../tools/go.mod enumer -type=channel -trimprefix=by

// channel says by which way records reached this host.
type channel int

const (
	// byListing is a listing of the store, byWatch one of the calls that wait for its changes.
	byListing channel = iota
	byWatch
	// byNotice is a notice of another host, bySync a fetch from another host.
	byNotice
	bySync
	// byPoll is a question to the store whether anything has changed.
	byPoll
	// byWrite is a write of this host.
	byWrite
	// byTimer is no record: a time has passed.
	byTimer
)

// source says whence records came, for the log.
type source struct {
	// from is "store" or a host's id.
	from string
	by   channel
}

// The sources of records that come from the store.
var (
	storeListing = source{"store", byListing}
	storeWatch   = source{"store", byWatch}
	storePoll    = source{"store", byPoll}
	storeWrite   = source{"store", byWrite}
)
