package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/keyvalue/etcd"
)

const maxStoreRequest = 4 << 20

// StoreFaults is the body of POST /faults. It replaces all faults.
type StoreFaults struct {
	Down        bool
	Delay       cicadapitch.Millis
	LoseAnswers int
}

type storeHandler struct{ s *MemoryStore }

// NewStoreHandler serves s by the HTTP/JSON form of the etcd v3 API, beside
// POST /faults and GET /calls.
func NewStoreHandler(s *MemoryStore) http.Handler {
	h := storeHandler{s}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcd.PathRange, unary(h.rangeKeys))
	mux.HandleFunc("POST "+etcd.PathTxn, unary(h.txn))
	mux.HandleFunc("POST "+etcd.PathGrant, unary(h.grant))
	mux.HandleFunc("POST "+etcd.PathKeepAlive, unary(h.keepAlive))
	mux.HandleFunc("POST "+etcd.PathRevoke, unary(h.revoke))
	mux.HandleFunc("POST "+etcd.PathWatch, h.watch)
	mux.HandleFunc("POST /faults", unary(h.faults))
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return mux
}

// unary serves one call with one answer.
func unary[Q, A any](call func(context.Context, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStoreRequest)).Decode(&q); err != nil {
			writeEtcdError(w, http.StatusBadRequest, etcd.CodeInvalidArgument, err.Error())
			return
		}
		a, err := call(r.Context(), q)
		if err != nil {
			failCall(w, err)
			return
		}
		writeJSON(w, a)
	}
}

// failCall answers with an error, or cuts the connection where the answer is
// to be lost.
func failCall(w http.ResponseWriter, err error) {
	e := cicadapitch.AsError(err)
	switch {
	case e == nil:
		writeEtcdError(w, http.StatusInternalServerError, etcd.CodeUnavailable, err.Error())
	case e.Kind == cicadapitch.OutcomeUnknown:
		panic(http.ErrAbortHandler)
	case e.Kind == cicadapitch.NotFound:
		writeEtcdError(w, http.StatusNotFound, etcd.CodeNotFound, e.Reason)
	case e.Kind == cicadapitch.Unavailable && e.RetryAfter > 0:
		writeEtcdError(w, http.StatusTooManyRequests, etcd.CodeResourceExhausted, "etcdserver: too many requests")
	case e.Kind == cicadapitch.Unavailable:
		writeEtcdError(w, http.StatusServiceUnavailable, etcd.CodeUnavailable, etcd.MessageNoLeader)
	default:
		writeEtcdError(w, http.StatusBadRequest, etcd.CodeInvalidArgument, e.Reason)
	}
}

func writeEtcdError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcd.Error{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (h storeHandler) rangeKeys(ctx context.Context, q etcd.RangeRequest) (etcd.RangeResponse, error) {
	if len(q.RangeEnd) > 0 {
		list, revision, err := h.s.List(ctx, string(q.Key))
		return rangeResponse(list, revision), err
	}
	p, err := h.s.Get(ctx, string(q.Key))
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		return etcd.RangeResponse{}, nil
	}
	return rangeResponse([]cicadapitch.Pair{p}, p.Revision), err
}

func rangeResponse(list []cicadapitch.Pair, revision cicadapitch.StoreRevision) etcd.RangeResponse {
	a := etcd.RangeResponse{Header: etcd.Header{Revision: int64(revision)}}
	for _, p := range list {
		a.KVs = append(a.KVs, keyValue(p))
	}
	return a
}

func keyValue(p cicadapitch.Pair) etcd.KeyValue {
	return etcd.KeyValue{Key: []byte(p.Key), Value: p.Value, ModRevision: int64(p.Revision), Lease: int64(p.Lease)}
}

func (h storeHandler) txn(ctx context.Context, q etcd.TxnRequest) (etcd.TxnResponse, error) {
	var conditions []cicadapitch.Compare
	for _, c := range q.Compare {
		if c.Target != etcd.TargetMod || c.Result != etcd.ResultEqual {
			return etcd.TxnResponse{}, cicadapitch.NewError(cicadapitch.Invalid, "the stand-in compares only MOD EQUAL", "use these")
		}
		conditions = append(conditions, cicadapitch.Compare{Key: string(c.Key), Revision: cicadapitch.StoreRevision(c.ModRevision)})
	}
	revision, err := h.s.Commit(ctx, conditions, puts(q.Success))
	if cicadapitch.KindOf(err) == cicadapitch.Conflict {
		return etcd.TxnResponse{}, nil
	}
	return etcd.TxnResponse{Header: etcd.Header{Revision: int64(revision)}, Succeeded: true}, err
}

func puts(ops []etcd.RequestOp) []cicadapitch.Put {
	var writes []cicadapitch.Put
	for _, op := range ops {
		if p := op.RequestPut; p != nil {
			writes = append(writes, cicadapitch.Put{Key: string(p.Key), Value: p.Value, Lease: cicadapitch.LeaseID(p.Lease)})
		}
		if d := op.RequestDeleteRange; d != nil {
			writes = append(writes, cicadapitch.Put{Key: string(d.Key), Delete: true})
		}
	}
	return writes
}

func (h storeHandler) grant(ctx context.Context, q etcd.LeaseGrantRequest) (etcd.LeaseGrantResponse, error) {
	id, err := h.s.Grant(ctx, cicadapitch.Millis(q.TTL)*cicadapitch.Second)
	return etcd.LeaseGrantResponse{ID: int64(id), TTL: q.TTL}, err
}

func (h storeHandler) keepAlive(ctx context.Context, q etcd.LeaseRequest) (etcd.Streamed[etcd.LeaseKeepAliveResponse], error) {
	ttl, err := h.s.Renew(ctx, cicadapitch.LeaseID(q.ID))
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		ttl, err = 0, nil
	}
	a := &etcd.LeaseKeepAliveResponse{ID: q.ID, TTL: int64(ttl / cicadapitch.Second)}
	return etcd.Streamed[etcd.LeaseKeepAliveResponse]{Result: a}, err
}

func (h storeHandler) revoke(ctx context.Context, q etcd.LeaseRequest) (struct{}, error) {
	return struct{}{}, h.s.Revoke(ctx, cicadapitch.LeaseID(q.ID))
}

func (h storeHandler) faults(_ context.Context, q StoreFaults) (StoreFaults, error) {
	h.s.SetDown(q.Down)
	h.s.SetDelay(q.Delay)
	h.s.LoseAnswers(q.LoseAnswers)
	return q, nil
}

func (h storeHandler) watch(w http.ResponseWriter, r *http.Request) {
	var q etcd.WatchRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStoreRequest)).Decode(&q)
	if err != nil || q.CreateRequest == nil {
		writeEtcdError(w, http.StatusBadRequest, etcd.CodeInvalidArgument, "no create_request")
		return
	}
	c := q.CreateRequest
	events, err := h.s.Watch(r.Context(), string(c.Key), cicadapitch.StoreRevision(c.StartRevision-1))
	if err != nil {
		failCall(w, err)
		return
	}
	send := func(a etcd.WatchResponse) {
		writeJSON(w, etcd.Streamed[etcd.WatchResponse]{Result: &a})
		_ = http.NewResponseController(w).Flush()
	}
	send(etcd.WatchResponse{Created: true})
	for e := range events {
		send(watchResponse(e))
	}
}

func watchResponse(e cicadapitch.WatchEvent) etcd.WatchResponse {
	if e.Err != nil {
		return etcd.WatchResponse{Canceled: true}
	}
	a := etcd.WatchResponse{Header: etcd.Header{Revision: int64(e.Pair.Revision)}}
	event := etcd.Event{KV: keyValue(e.Pair)}
	if e.Deleted {
		event.Type = etcd.EventDelete
	}
	a.Events = []etcd.Event{event}
	return a
}
