package bed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Directories asks each host for the hosts that requesters connect to, and returns how many each names.
func Directories(hosts []*Host) map[string]int {
	client := &http.Client{Timeout: time.Second}
	out := map[string]int{}
	for _, h := range hosts {
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=club.example&region=obb&zone=elsewhere", h.IP, directoryPort))
		if err != nil {
			out[h.Name] = -1
			continue
		}
		_ = json.NewDecoder(resp.Body).Decode(&answer) // an answer without addresses names no host
		resp.Body.Close()
		out[h.Name] = len(answer.Addresses)
	}
	return out
}
