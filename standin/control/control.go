package control

import (
	"encoding/json"
	"net/http"
)

// State serves the result of get as JSON on GET /debug/state.
func State(mux *http.ServeMux, get func() any) {
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, get()) })
}

// Faults decodes the JSON body of PUT /fault into a T and passes it to set.
func Faults[T any](mux *http.ServeMux, set func(T)) {
	Put(mux, "/fault", set)
}

// Put decodes the JSON body of PUT path into a T and passes it to set.
func Put[T any](mux *http.ServeMux, path string, set func(T)) {
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
		w.WriteHeader(http.StatusNoContent)
	})
}

// WriteJSON writes v as a JSON response body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
