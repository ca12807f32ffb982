package configuration

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// MaxUpdateBytes is the maximum size of an encoded update: a whole configuration
// and 1024 bytes for the fields around it.
const MaxUpdateBytes = cicadapitch.MaxValueBytes + 1024

// Update brings a host to the revision of a peer, either by deltas or by the whole
// configuration. Both fields are empty if the peer has no higher revision.
type Update struct {
	// Deltas are a chain that starts at the revision of the requesting host.
	Deltas []Delta `cbor:",omitempty"`
	// Whole is an encoded configuration.
	Whole []byte `cbor:",omitempty"`
}

// EncodeUpdate returns u in deterministic CBOR.
func EncodeUpdate(u Update) ([]byte, error) {
	b, err := encMode.Marshal(u)
	return b, cicadapitch.Wrap(err)
}

// DecodeUpdate decodes an update from CBOR. It returns an Invalid error if b is
// malformed or larger than MaxUpdateBytes.
func DecodeUpdate(b []byte) (Update, error) {
	var u Update
	err := unmarshalLimited(MaxUpdateBytes, b, &u)
	return u, err
}

// Fetcher fetches updates from peers.
type Fetcher interface {
	// Fetch requests the changes since revision have from a peer. With have 0
	// it requests the whole configuration. If the peer has no higher revision,
	// the update is empty and the error is nil.
	Fetch(ctx context.Context, from cicadapitch.Member, have cicadapitch.Revision) (Update, error)
}

// UpdateSince returns the update for a peer that has revision have. It is empty
// if this host has no higher revision.
func (f *Follower) UpdateSince(have cicadapitch.Revision) (Update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg := f.current.Load()
	if cfg == nil || cfg.Revision <= have {
		return Update{}, nil
	}
	for i, d := range f.deltas {
		if d.From == have {
			return f.smallerUpdate(f.deltas[i:len(f.deltas):len(f.deltas)])
		}
	}
	return Update{Whole: f.encoded}, nil
}

// smallerUpdate returns the deltas, or the whole configuration if its encoding is
// smaller. The caller holds the lock.
func (f *Follower) smallerUpdate(deltas []Delta) (Update, error) {
	u := Update{Deltas: deltas}
	b, err := EncodeUpdate(u)
	if err != nil || len(b) > len(f.encoded) {
		return Update{Whole: f.encoded}, err
	}
	return u, nil
}

// ApplyUpdate installs the configuration of an update and reports whether it
// installed one. It returns false if the update is empty or its revision is not
// higher. It returns a Conflict error if the deltas do not apply to the
// configuration of this host; the caller should then fetch the whole configuration
// with revision 0.
func (f *Follower) ApplyUpdate(u Update) (bool, error) {
	if len(u.Whole) > 0 {
		cfg, err := Decode(u.Whole)
		if err != nil {
			return false, err
		}
		return f.InstallIfNewer(cfg), nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg, encoded, err := f.applyDeltas(u.Deltas)
	if err != nil || encoded == nil {
		return false, err
	}
	f.install(cfg, encoded, u.Deltas)
	return true, nil
}

// applyDeltas applies a chain of deltas to the current configuration and returns
// the result with its encoded form, which is nil if there are no deltas. Each delta
// must lead to a higher revision.
func (f *Follower) applyDeltas(deltas []Delta) (*cicadapitch.Configuration, []byte, error) {
	cfg := f.current.Load()
	var encoded []byte
	for _, d := range deltas {
		if cfg == nil || d.To <= d.From {
			return nil, nil, cicadapitch.NewError(cicadapitch.Conflict, "the delta does not lead to a higher revision", "fetch the whole configuration")
		}
		var err error
		cfg, encoded, err = d.Apply(cfg)
		if err != nil {
			return nil, nil, err
		}
	}
	return cfg, encoded, nil
}
