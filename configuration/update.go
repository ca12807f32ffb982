package configuration

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// MaxUpdateBytes is the largest encoded update.
const MaxUpdateBytes = cicadapitch.MaxValueBytes + 1024

// Update brings a host from the revision that it holds to that of a peer, by
// deltas or by the whole configuration. Both are empty where the peer has
// nothing newer.
type Update struct {
	Deltas []Delta `cbor:",omitempty"`
	// Whole is an encoded configuration.
	Whole []byte `cbor:",omitempty"`
}

// EncodeUpdate returns u in CBOR.
func EncodeUpdate(u Update) ([]byte, error) {
	b, err := encMode.Marshal(u)
	return b, cicadapitch.Wrap(err)
}

// DecodeUpdate returns the update that b holds in CBOR.
func DecodeUpdate(b []byte) (Update, error) {
	var u Update
	err := unmarshalUpTo(MaxUpdateBytes, b, &u)
	return u, err
}

// Fetcher fetches updates from peers.
type Fetcher interface {
	// Fetch asks a peer for what is newer than have. The error of a peer
	// that has nothing newer is nil and the update is empty.
	Fetch(ctx context.Context, from cicadapitch.Member, have cicadapitch.Revision) (Update, error)
}

// UpdateSince answers a peer's Fetch.
func (f *Follower) UpdateSince(have cicadapitch.Revision) (Update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg := f.current.Load()
	if cfg == nil || cfg.Revision <= have {
		return Update{}, nil
	}
	for i, d := range f.deltas {
		if d.From == have {
			return f.smaller(f.deltas[i:len(f.deltas):len(f.deltas)])
		}
	}
	return Update{Whole: f.encoded}, nil
}

// smaller returns the deltas, or the whole configuration if it takes less.
func (f *Follower) smaller(deltas []Delta) (Update, error) {
	u := Update{Deltas: deltas}
	b, err := EncodeUpdate(u)
	if err != nil || len(b) > len(f.encoded) {
		return Update{Whole: f.encoded}, err
	}
	return u, nil
}

// ApplyUpdate puts an update in force, and returns whether it held a higher revision.
// An update that does not fit is a Conflict: fetch the whole configuration, by
// asking with revision 0.
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
	cfg, encoded, err := f.applyAll(u.Deltas)
	if err != nil || encoded == nil {
		return false, err
	}
	f.put(cfg, encoded, u.Deltas)
	return true, nil
}

// applyAll applies a chain of deltas to the present configuration. Every step
// must go up.
func (f *Follower) applyAll(deltas []Delta) (*cicadapitch.Configuration, []byte, error) {
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
