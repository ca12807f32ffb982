package keyvalue

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/keyvalue/etcd"
)

// Watch implements cicadapitch.Store. One message of the watch may have up to
// MaxAnswerBytes.
func (s *Store) Watch(ctx context.Context, prefix string, after cicadapitch.StoreRevision) (<-chan cicadapitch.WatchEvent, error) {
	ctx, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(s.opts.timeout.Duration(), cancel)
	q := etcd.WatchRequest{CreateRequest: &etcd.WatchCreateRequest{
		Key:           []byte(prefix),
		RangeEnd:      etcd.PrefixEnd(prefix),
		StartRevision: int64(after) + 1,
	}}
	w, err := s.send(ctx, reads, etcd.PathWatch, q)
	if err != nil {
		cancel()
		return nil, err
	}
	events := make(chan cicadapitch.WatchEvent)
	go func() {
		defer cancel()
		defer close(events)
		s.follow(ctx, w, opening, events)
	}()
	return events, nil
}

// follow passes on the events of a watch until it ends.
func (s *Store) follow(ctx context.Context, w *http.Response, opening *time.Timer, events chan<- cicadapitch.WatchEvent) {
	defer w.Body.Close()
	lines := bufio.NewScanner(w.Body)
	lines.Buffer(nil, MaxAnswerBytes)
	for lines.Scan() {
		opening.Stop()
		list, err := DecodeWatch(lines.Bytes())
		for _, e := range list {
			if !pass(ctx, events, e) {
				return
			}
		}
		if err != nil {
			pass(ctx, events, cicadapitch.WatchEvent{Err: s.failed(err)})
			return
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.EOF
	}
	if ctx.Err() == nil {
		pass(ctx, events, cicadapitch.WatchEvent{Err: s.failed(reads.lost("the watch broke off: " + err.Error()))})
	}
}

func pass(ctx context.Context, events chan<- cicadapitch.WatchEvent, e cicadapitch.WatchEvent) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// DecodeWatch decodes one line of a watch. It returns an error where the watch
// has ended or the line is not a message of the API.
func DecodeWatch(line []byte) ([]cicadapitch.WatchEvent, error) {
	var a etcd.Streamed[etcd.WatchResponse]
	if err := json.Unmarshal(line, &a); err != nil {
		return nil, reads.lost("a watch message is not the JSON of the API")
	}
	if a.Error != nil || a.Result == nil {
		return nil, reads.lost("the watch was refused")
	}
	if a.Result.Canceled {
		return nil, reads.lost("the store ended the watch")
	}
	list := make([]cicadapitch.WatchEvent, 0, len(a.Result.Events))
	for _, e := range a.Result.Events {
		list = append(list, cicadapitch.WatchEvent{Pair: pair(e.KV), Deleted: e.Type == etcd.EventDelete})
	}
	return list, nil
}
