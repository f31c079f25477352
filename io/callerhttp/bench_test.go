package callerhttp_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleyport/core"
)

const benchCallers = 4

func benchPath(b *testing.B) (direct, path string, client *http.Client) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "transcript") }))
	b.Cleanup(backend.Close)
	n := startNode(b, backend, core.EndpointReady)
	entry := startEntry(b, allV1, &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("b", n)}})
	client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.Cleanup(client.CloseIdleConnections)
	return backend.URL + "/orders", "http://" + entry.Address() + "/orders", client
}

func getOK(b *testing.B, client *http.Client, url string) {
	response, err := client.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Errorf("status %d, error %v", response.StatusCode, err)
	}
}

// BenchmarkAddedLatency compares the latency of calls through two nodes with that of direct calls. The two alternate.
func BenchmarkAddedLatency(b *testing.B) {
	directURL, pathURL, client := benchPath(b)
	var mu sync.Mutex
	direct, path := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	var callers sync.WaitGroup
	b.ResetTimer()
	for range benchCallers {
		callers.Go(func() {
			for range b.N {
				began := time.Now()
				getOK(b, client, directURL)
				between := time.Now()
				getOK(b, client, pathURL)
				ended := time.Now()
				mu.Lock()
				_ = direct.RecordValue(between.Sub(began).Microseconds())
				_ = path.RecordValue(ended.Sub(between).Microseconds())
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	for _, quantile := range []float64{50, 99} {
		d, p := float64(direct.ValueAtQuantile(quantile)), float64(path.ValueAtQuantile(quantile))
		b.ReportMetric(d, fmt.Sprintf("direct-p%v-µs", quantile))
		b.ReportMetric(p-d, fmt.Sprintf("added-p%v-µs", quantile))
		b.ReportMetric(p/d, fmt.Sprintf("ratio-p%v", quantile))
	}
}

// BenchmarkCallsPerSecond measures the throughput with the callers, two nodes and the backend server in one process.
func BenchmarkCallsPerSecond(b *testing.B) {
	for _, name := range []string{"direct", "path"} {
		b.Run(name, func(b *testing.B) {
			url, pathURL, client := benchPath(b)
			if name == "path" {
				url = pathURL
			}
			b.SetParallelism(4)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					getOK(b, client, url)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
