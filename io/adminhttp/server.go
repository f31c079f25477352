package adminhttp

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/io/httpserver"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
)

// Options configure the server. State is encoded as JSON for the state dump and must hold no secrets.
type Options struct {
	Address string
	Ready   func() bool
	State   func() any
	Metrics *metrics.Set
	Logger  zerolog.Logger
	// Explain says where a request would go, by the parameters of a query. If it is nil, there is no /route.
	Explain func(url.Values) (any, error)
}

// New starts the server on /metrics, /ready (status 200 or 503), /state and /route; the clean-up function stops it.
func New(options Options) (func(), error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, errors.Annotate(err, "admin address")
	}
	server := &http.Server{
		Handler:           handler(options),
		ReadHeaderTimeout: headerTimeout,
	}
	return httpserver.Serve(server, listener, "admin", stopTimeout, options.Logger), nil
}

func handler(options Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		options.Metrics.WritePrometheus(w)
		httpserver.WriteMetrics(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !options.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, options.State(), options.Logger)
	})
	if options.Explain != nil {
		mux.HandleFunc("GET /route", func(w http.ResponseWriter, r *http.Request) {
			explanation, err := options.Explain(r.URL.Query())
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			writeJSON(w, explanation, options.Logger)
		})
	}
	return mux
}

func writeJSON(w http.ResponseWriter, value any, log zerolog.Logger) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		log.Error().Err(err).Msg("answer of the admin interface cannot be encoded")
	}
}
