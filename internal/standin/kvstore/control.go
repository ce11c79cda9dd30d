package kvstore

import (
	"encoding/json"
	"net/http"
)

// maxControlBodyBytes bounds the body of a request to the control port.
const maxControlBodyBytes = 1 << 16

// NewControl returns the HTTP control interface of a Faulty store:
//
//	GET    /faults    the current switches
//	PUT    /faults    replaces all switches
//	GET    /counters  the calls per method
//	DELETE /counters  sets the counters to zero
func NewControl(controlled *Faulty) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, controlled.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		putFaults(controlled, w, r)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, controlled.Counters())
	})
	mux.HandleFunc("DELETE /counters", func(w http.ResponseWriter, _ *http.Request) {
		controlled.ResetCounters()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func putFaults(controlled *Faulty, w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	controlled.SetFaults(faults)
	writeJSON(w, faults)
}

func writeJSON[T Faults | Counters](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
