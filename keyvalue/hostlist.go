package keyvalue

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"cicadapitch.example/cicadapitch"
)

// HostsBody is the answer to GET /v1/hosts.
type HostsBody struct {
	Hosts []cicadapitch.ListedHost
}

// HostList is a client of the platform's list of hosts.
type HostList struct {
	url    string
	client *http.Client
	opts   options
}

var _ cicadapitch.HostList = (*HostList)(nil)

// NewHostList returns a client of the list below a base URL.
func NewHostList(baseURL string, opts ...Option) *HostList {
	return &HostList{url: baseURL + "/v1/hosts", client: newClient(), opts: newOptions(opts)}
}

// Hosts implements cicadapitch.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]cicadapitch.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.timeout.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	w, err := l.client.Do(r)
	if err != nil {
		return nil, hostListError(err.Error())
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return nil, hostListError("answered " + w.Status)
	}
	var b HostsBody
	if err := json.NewDecoder(io.LimitReader(w.Body, MaxAnswerBytes)).Decode(&b); err != nil {
		return nil, hostListError(err.Error())
	}
	return b.Hosts, nil
}

func hostListError(reason string) error {
	return cicadapitch.NewError(cicadapitch.Unavailable, "host list: "+reason, "go on with the hosts known so far")
}
