package unknowncallers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a limit that a single request in calm meets although its head is within the declared 16 KiB.
func TestFullHeadsInCalm(t *testing.T) {
	c := qt.New(t)
	startArchive(c)
	defer kill(farNode)
	startPlatform(c)
	heads := map[string]string{
		"one usual name":   strings.Repeat("x-forwarded-for: 1\r\n", 750),
		"cookies":          strings.Repeat("cookie: a=b\r\n", 1_150),
		"empty values":     strings.Repeat("a:\r\n", 3_900),
		"different names":  "",
		"one line":         "a: " + strings.Repeat("x", 15<<10) + "\r\n",
		"a few dozen more": strings.Repeat("accept: */*\r\n", 100),
	}
	for i := range 2_300 {
		heads["different names"] += fmt.Sprintf("%03x:\r\n", i)
	}
	for _, each := range []struct {
		method, process, path, host string
		port                        int
		served                      string // the statuses of a request that was read
	}{
		{method: "GET", process: node, port: portCaller, path: "/transcripts/1", host: "n", served: "200"},
		{method: "GET", process: node, port: portCaller, path: quickPath, host: "n", served: "200"},
		{method: "GET", process: platformNode, port: portCaller, path: "/get/1", host: "shop.example", served: "200 503"},
		{method: "GET", process: node, port: portAdmin, path: "/ready", host: "n", served: "200"},
		{method: "GET", process: control, port: portOperator, path: "/ready", host: "n", served: "200"},
		{method: "GET", process: platformNode, port: portReadiness, path: "/parsleyport/readiness", host: "n", served: "200 503"},
		{method: "POST", process: platformNode, port: portHeartbeat, path: "/parsleyport/Instances.Heartbeat/u1", host: "n", served: "400"},
		{method: "GET", process: platformControl, port: portOperator + 10, path: "/parsleyport/Configuration.Get", host: "n", served: "200"},
	} {
		for name, lines := range heads {
			status := statusOf(address(each.process, each.port), fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n%s\r\n", each.method, each.path, each.host, lines))
			c.Check(status != "" && strings.Contains(each.served, status), qt.IsTrue, qt.Commentf("%s at %s%s: status %q, expected one of %s", name, each.process, each.path, status, each.served))
		}
	}
}

// statusOf returns the status of the answer to a request on a connection of its own, or an empty string.
func statusOf(address, request string) string {
	connection, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return ""
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(connection, request); err != nil {
		return ""
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return ""
	}
	return strconv.Itoa(response.StatusCode)
}
