package platform

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/roster"
)

const maxAppendBytes = 8 << 20

// Handler returns the HTTP handler of the log service and the host list.
func Handler(log *Log, hosts *HostList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", func(w http.ResponseWriter, r *http.Request) { serveAppend(log, w, r) })
	mux.HandleFunc("GET /streams/{stream}", func(w http.ResponseWriter, r *http.Request) { serveRead(log, w, r) })
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) { serveFaults(log, w, r) })
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) { serveHosts(hosts, w, r) })
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) { servePutHost(hosts, w, r) })
	return mux
}

func serveAppend(log *Log, w http.ResponseWriter, r *http.Request) {
	var records []json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&records); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := log.Append(r.Context(), r.PathValue("stream"), records...)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

func serveRead(log *Log, w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: not a duration", http.StatusBadRequest)
		return
	}
	batch, err := log.Read(r.Context(), r.PathValue("stream"), from, wait)
	var trimmed *journal.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, journal.Batch{Earliest: trimmed.Earliest})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, batch)
	}
}

// serveFaults injects faults into the log.
func serveFaults(log *Log, w http.ResponseWriter, r *http.Request) {
	var faults struct {
		Down          bool `json:"down"`
		LoseResponses int  `json:"lose-answers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	log.SetDown(faults.Down)
	log.LoseResponses(faults.LoseResponses)
}

func serveHosts(hosts *HostList, w http.ResponseWriter, r *http.Request) {
	list := hosts.List()
	etag := strconv.Quote(strconv.FormatInt(list.Version, 10))
	w.Header().Set("Etag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(w, http.StatusOK, list)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(compressor).Encode(list)
	_ = compressor.Close()
}

func servePutHost(hosts *HostList, w http.ResponseWriter, r *http.Request) {
	var host roster.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hosts.Put(host)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
