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
	type port struct{ method, address, path, host string }
	at := func(process string, number int) string { return address(process, number) }
	for _, each := range []struct {
		port
		served string // the statuses of a request that was read
	}{
		{port{"GET", at(node, portCaller), "/transcripts/1", "n"}, "200"},
		{port{"GET", at(node, portCaller), quickPath, "n"}, "200"},
		{port{"GET", at(platformNode, portCaller), "/get/1", "shop.example"}, "200 503"},
		{port{"GET", at(node, portAdmin), "/ready", "n"}, "200"},
		{port{"GET", at(control, portOperator), "/ready", "n"}, "200"},
		{port{"GET", at(platformNode, portReadiness), "/parsleyport/readiness", "n"}, "200 503"},
		{port{"POST", at(platformNode, portHeartbeat), "/parsleyport/Instances.Heartbeat/u1", "n"}, "400"},
		{port{"GET", at(platformControl, portOperator+10), "/parsleyport/Configuration.Get", "n"}, "200"},
	} {
		for name, lines := range heads {
			status := statusOf(each.address, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n%s\r\n", each.method, each.path, each.host, lines))
			c.Check(status != "" && strings.Contains(each.served, status), qt.IsTrue, qt.Commentf("%s at %s%s: status %q, expected one of %s", name, each.address, each.path, status, each.served))
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
