package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// operatorClient opens a connection for each request, as an operator that picks another instance each time.
var operatorClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func getStatus(url string) int {
	response, err := operatorClient.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

type object = map[string]any

// route is a route of a configuration.
type route struct {
	name, kind, prefix, service string
	timeout                     string
	attempts                    int
}

const host = "desk.example"

// configuration returns a complete configuration.
func configuration(version, base int, services []string, routes ...route) object {
	var rules, clusters []object
	for _, each := range routes {
		rules = append(rules, object{
			"name":           each.name,
			"route-kind":     each.kind,
			"target-latency": "800ms",
			"priority":       1,
			"match":          object{"path-prefix": each.prefix},
			"action":         object{"service": each.service, "timeout": each.timeout, "attempts": each.attempts},
		})
	}
	for _, service := range services {
		clusters = append(clusters, object{"name": service, "health-check-path": "/health", "max-connections": 130, "protocol": "h1", "tls": false})
	}
	return object{
		"version":      version,
		"base-version": base,
		"limits":       object{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"listeners":    []object{{"host": host, "rule-set": rules}},
		"clusters":     clusters,
	}
}

// post sends an order to a control instance. It returns the status zero if there is no whole answer within a second.
func (r *run) post(to *machine, path string, order any) (int, string) {
	encoded, err := json.Marshal(order)
	if err != nil {
		failf("%v", err)
	}
	return r.postBytes(to, path, encoded)
}

func (r *run) postBytes(to *machine, path string, body []byte) (int, string) {
	response, err := operatorClient.Post("http://"+to.address(r.ports.control)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// putConfiguration sends a configuration to the instances in turn until one acknowledges it.
func (d *deployment) putConfiguration(order object) {
	next := 0
	d.run.await("acknowledgement of the configuration", 20*time.Second, func() bool {
		to := d.controls[next%len(d.controls)]
		next++
		status, text := d.run.post(to, "/parsleyport/Configuration.Put", order)
		d.run.notef("Configuration.Put version %v at %s: %d %.80s", order["version"], to.name, status, text)
		return status == http.StatusOK
	})
}
