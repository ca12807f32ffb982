package standin

import (
	"encoding/json"
	"net/http"
)

// writeJSON writes v as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// If writing fails, the client sees the broken connection.
	_ = json.NewEncoder(w).Encode(v)
}
