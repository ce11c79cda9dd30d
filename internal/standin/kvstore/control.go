package kvstore

import (
	"encoding/json"
	"net/http"
)

// maxControlBodyBytes limits the request body of PUT /faults.
const maxControlBodyBytes = 1 << 16

// NewControl returns the HTTP control interface of a Faulty store:
//
//	GET    /faults    the current fault settings
//	PUT    /faults    replaces all fault settings
//	GET    /counters  the number of calls per method
//	DELETE /counters  sets the counters to zero
func NewControl(faulty *Faulty) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, faulty.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		replaceFaults(faulty, w, r)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, faulty.Counters())
	})
	mux.HandleFunc("DELETE /counters", func(w http.ResponseWriter, _ *http.Request) {
		faulty.ResetCounters()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func replaceFaults(faulty *Faulty, w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faulty.SetFaults(faults)
	writeJSON(w, faults)
}

func writeJSON[T Faults | Counters](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
