package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// firstStart kills one of the first three control instances before all of them have met, and restarts it. Without the trouble, the
// instance runs on.
func firstStart(d *deployment, trouble bool) bool {
	const limit = 60 * time.Second
	u1, u2 := d.newUpstream("n1", "orderdesk", 5*time.Millisecond), d.newUpstream("n2", "orderdesk", 5*time.Millisecond)
	for _, instance := range []string{"c1", "c2", "c4", "c5", "n1", "n2"} {
		d.start(instance, true)
	}
	u1.start()
	u2.start()
	time.Sleep(150 * time.Millisecond)
	if trouble {
		d.kill("c1")
	}
	time.Sleep(100 * time.Millisecond) // all machines start within 0.3 s of each other
	d.start("c3", true)
	if trouble {
		time.Sleep(restartDelay - 100*time.Millisecond)
		d.start("c1", false) // a restart is not the first start of the whole system
	}
	var stop atomic.Bool
	var served, sent atomic.Int64
	var clients sync.WaitGroup
	clients.Go(func() {
		for !stop.Load() {
			sent.Add(1)
			if a := d.send(request{node: "n1", method: http.MethodGet, target: "/orders/1", remaining: 800 * time.Millisecond}); a.status == http.StatusOK {
				served.Add(1)
			}
			time.Sleep(time.Second)
		}
	})
	acknowledged := d.configure(configuration(1, 0, []string{"orderdesk"}, route{prefix: "/orders/", kind: "safe", service: "orderdesk", timeout: 800 * time.Millisecond}), limit)
	if acknowledged {
		time.Sleep(8 * time.Second)
	}
	stop.Store(true)
	clients.Wait()
	d.record.printf("first configuration acknowledged: %t; %d of %d requests served; all processes have run for the last %s", acknowledged, served.Load(), sent.Load(), limit)
	return served.Load() > 0
}

// forgottenLeave restarts two nodes whose upstreams leave, and delivers one heartbeat of each upstream seconds late.
func forgottenLeave(d *deployment, trouble bool) bool {
	const late = 4 * time.Second // of the delayed heartbeats
	work := 250 * time.Millisecond
	nodes := []string{"n1", "n2", "n3", "n4", "n5"}
	var upstreams []*upstream
	for _, node := range nodes[:3] {
		upstreams = append(upstreams, d.newUpstream(node, "orderdesk", work))
	}
	for _, node := range nodes[3:] { // the clients' nodes
		upstreams = append(upstreams, d.newUpstream(node, "dispatch", work))
	}
	d.startCalm(nodes, upstreams, configuration(1, 0, []string{"orderdesk", "dispatch"},
		route{prefix: "/orders/", kind: "unsafe", service: "orderdesk", timeout: 1200 * time.Millisecond}))
	time.Sleep(touch + time.Second)

	var stop atomic.Bool
	var unanswered atomic.Int64
	var clients sync.WaitGroup
	for _, node := range nodes[3:] {
		clients.Go(func() {
			for !stop.Load() {
				clients.Go(func() {
					a := d.send(request{node: node, method: http.MethodPost, target: "/orders/new", body: "one poncho", remaining: 1200 * time.Millisecond})
					if a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
						unanswered.Add(1)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	leaving := upstreams[:2]
	acknowledgedAt := make([]time.Time, len(leaving))
	leave := func(i int) {
		u := leaving[i]
		u.beating.Store(false)
		outcome := u.post("Leave", u.leaveBody())
		acknowledgedAt[i] = time.Now()
		d.record.printf("upstream %s sends Instances.Leave to %s -> %s", u.id, u.node, outcome)
		if outcome[:1] != "2" {
			cannotRun("the leave message is not acknowledged: %s", outcome)
		}
	}
	var delayed sync.WaitGroup
	delay := func(i int) {
		u := leaving[i]
		body, sentAt := u.heartbeat(), time.Now()
		d.record.printf("upstream %s sends a heartbeat to %s, which is delayed", u.id, u.node)
		delayed.Go(func() {
			time.Sleep(time.Until(sentAt.Add(late)))
			d.record.printf("the heartbeat of upstream %s arrives %.1f s late at %s -> %s", u.id, late.Seconds(), u.node, u.post("Heartbeat", body))
		})
	}
	// The first node acknowledges that its upstream leaves, and is killed. The second one is killed, and the restarted process
	// acknowledges that its upstream leaves.
	for _, u := range leaving {
		u.beating.Store(false)
	}
	delay(0)
	delay(1)
	leave(0)
	if trouble {
		d.kill("n1")
		d.kill("n2")
		time.Sleep(restartDelay)
		d.start("n1", false)
		d.start("n2", false)
	}
	restartedAt := time.Now()
	time.Sleep(250 * time.Millisecond)
	leave(1)
	inTouchAt := restartedAt.Add(touch)
	time.Sleep(time.Until(restartedAt.Add(drainTimeout + 5*time.Second)))
	for _, u := range leaving {
		u.end()
	}
	time.Sleep(500 * time.Millisecond)
	stop.Store(true)
	clients.Wait()
	delayed.Wait()
	held := true
	for i, u := range leaving {
		from := acknowledgedAt[i].Add(drainTimeout + 100*time.Millisecond)
		if from.Before(inTouchAt) {
			from = inTouchAt
		}
		n := len(u.runsAfter(from))
		d.record.printf("upstream %s beside %s ran %d requests later than %s after the acknowledgement, while all machines were in touch; %d of them were cut off by its exit",
			u.id, u.node, n, drainTimeout, u.cutOff)
		held = held && n == 0
	}
	d.record.printf("%d unsafe requests ended with 502, 504 or no answer", unanswered.Load())
	return held
}

// crashedPath adds a route, lets two upstreams crash one after the other while they run requests on that route, and starts them
// again. The requests have the same path and different queries.
func crashedPath(d *deployment, trouble bool) bool {
	const (
		down     = 4500 * time.Millisecond
		recovery = 15 * time.Second
	)
	nodes := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	var upstreams []*upstream
	for _, node := range nodes {
		upstreams = append(upstreams, d.newUpstream(node, "orderdesk", 300*time.Millisecond))
	}
	patterns := route{prefix: "/patterns/", kind: "safe", service: "orderdesk", timeout: 2 * time.Second}
	stock := route{prefix: "/stock/", kind: "safe", service: "orderdesk", timeout: 2 * time.Second}
	d.startCalm(nodes, upstreams, configuration(1, 0, []string{"orderdesk"}, patterns))
	if !d.configure(configuration(2, 1, []string{"orderdesk"}, patterns, stock), 10*time.Second) {
		cannotRun("the second configuration is not acknowledged")
	}
	time.Sleep(configurationApply + touch)
	type count struct{ sent, served atomic.Int64 }
	counts := map[string]*count{stock.prefix: {}, patterns.prefix: {}}
	var measured, stop atomic.Bool
	var clients sync.WaitGroup
	for _, node := range nodes {
		for _, load := range []struct {
			prefix, target string
			interval       time.Duration // on average
		}{
			{prefix: stock.prefix, target: stock.prefix + "find?lot=%d", interval: 70 * time.Millisecond},
			{prefix: patterns.prefix, target: patterns.prefix + "%d", interval: 200 * time.Millisecond},
		} {
			clients.Go(func() {
				for !stop.Load() {
					counted, target := measured.Load(), fmt.Sprintf(load.target, rand.IntN(10_000))
					clients.Go(func() {
						a := d.send(request{node: node, method: http.MethodGet, target: target, remaining: 2 * time.Second})
						if counted {
							counts[load.prefix].sent.Add(1)
							if a.status == http.StatusOK {
								counts[load.prefix].served.Add(1)
							}
						}
					})
					time.Sleep(time.Duration(rand.Int64N(2 * int64(load.interval))))
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for _, u := range upstreams[:2] {
		if trouble {
			u.end()
		}
		time.Sleep(down)
		if trouble {
			u.restart()
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(recovery)
	measured.Store(true)
	time.Sleep(8 * time.Second)
	stop.Store(true)
	clients.Wait()
	share := func(c *count) float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }
	first, later := counts[patterns.prefix], counts[stock.prefix]
	if first.served.Load() == 0 || later.sent.Load() < 20 {
		cannotRun("too few requests")
	}
	d.record.printf("later than %s after all upstreams were back: first route %s %d of %d served, later route %s %d of %d served",
		recovery, patterns.prefix, first.served.Load(), first.sent.Load(), stock.prefix, later.served.Load(), later.sent.Load())
	return share(later) >= share(first)/4
}

// oddHeartbeat delivers one heartbeat of another writer, without a zone, to each of two nodes.
func oddHeartbeat(d *deployment, trouble bool) bool {
	const recovery = 15 * time.Second
	nodes := []string{"n1", "n2", "n3", "n4"}
	var upstreams []*upstream
	for i, node := range nodes {
		upstreams = append(upstreams, d.newUpstream(node, []string{"orderdesk", "loomroom"}[i/2], 10*time.Millisecond))
	}
	orders := route{prefix: "/orders/", kind: "unsafe", service: "orderdesk", timeout: 800 * time.Millisecond}
	looms := route{prefix: "/looms/", kind: "unsafe", service: "loomroom", timeout: 800 * time.Millisecond}
	services := []string{"orderdesk", "loomroom"}
	d.startCalm(nodes, upstreams, configuration(1, 0, services, orders))
	if !d.configure(configuration(2, 1, services, orders, looms), 10*time.Second) {
		cannotRun("the second configuration is not acknowledged")
	}
	time.Sleep(configurationApply + touch)
	var stop, measured atomic.Bool
	type count struct{ sent, served atomic.Int64 }
	counts := map[string]*count{orders.prefix: {}, looms.prefix: {}}
	var clients sync.WaitGroup
	for _, node := range nodes[:2] {
		for _, r := range []route{orders, looms} {
			clients.Go(func() {
				for !stop.Load() {
					counted := measured.Load()
					a := d.send(request{node: node, method: http.MethodPost, target: r.prefix + "1", body: "x", remaining: 800 * time.Millisecond})
					if counted {
						counts[r.prefix].sent.Add(1)
						if a.status == http.StatusOK {
							counts[r.prefix].served.Add(1)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, u := range upstreams[2:] {
			body := fmt.Appendf(nil, `{"address":%q,"born":%d,"instance-info":{"service":"loomroom","version":"v1","slots":%d},"status":{"state":"ready","sequence":1,"cold-remaining":"0ms"}}`,
				d.address(u.node, portApplication), u.born+2000, slots)
			client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			d.record.printf("another writer sends to %s: Instances.Heartbeat/i-other %s -> %s", u.node, body,
				post(client, "http://"+d.address(u.node, portControl)+"/parsleyport/Instances.Heartbeat/i-other", body))
		}
	}
	time.Sleep(recovery)
	measured.Store(true)
	time.Sleep(12 * time.Second)
	stop.Store(true)
	clients.Wait()
	first, later := counts[orders.prefix], counts[looms.prefix]
	if first.served.Load() == 0 || later.sent.Load() < 20 {
		cannotRun("too few requests")
	}
	for _, u := range upstreams[2:] {
		body := u.heartbeat()
		d.record.printf("upstream %s still sends %s -> %s", u.id, body, u.post("Heartbeat", body))
	}
	d.record.printf("later than %s after the odd heartbeats: first route %s %d of %d served, later route %s %d of %d served",
		recovery, orders.prefix, first.served.Load(), first.sent.Load(), looms.prefix, later.served.Load(), later.sent.Load())
	return float64(later.served.Load())/float64(later.sent.Load()) >= float64(first.served.Load())/float64(first.sent.Load())/4
}

// foreignAnswer lets one of two upstreams send additional bytes, which look like an answer without an id, after some of its answers.
func foreignAnswer(d *deployment, trouble bool) bool {
	const faultDuration = 5 * time.Second
	nodes := []string{"n1", "n2"}
	var upstreams []*upstream
	for _, node := range nodes {
		u := d.newUpstream(node, "orderdesk", 20*time.Millisecond)
		u.faults = &additionalBytes{
			share: 0.03,
			bytes: []string{
				"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
				"HTTP/1.1 503 Service Unavailable\r\nX-Parsleyport-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			},
			late: 10 * time.Millisecond,
		}
		upstreams = append(upstreams, u)
	}
	d.startCalm(nodes, upstreams, configuration(1, 0, []string{"orderdesk"},
		route{prefix: "/orders/", kind: "unsafe", service: "orderdesk", timeout: time.Second}))
	time.Sleep(touch + time.Second)
	var stop atomic.Bool
	var answered, mixed atomic.Int64
	var clients sync.WaitGroup
	for _, node := range nodes {
		for range 4 {
			clients.Go(func() {
				for !stop.Load() {
					body := fmt.Sprintf("order-%d", rand.IntN(1_000_000))
					a := d.send(request{node: node, method: http.MethodPost, target: "/orders/new", body: body, remaining: time.Second})
					if a.status/100 != 2 {
						continue
					}
					answered.Add(1)
					if a.seal == "" || a.body != answerTo(body) {
						mixed.Add(1)
						d.record.printf("client: attempt %s, %q, got a success with seal %q and body %q", a.attempt, body, a.seal, a.body)
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	upstreams[0].faults.active.Store(trouble)
	time.Sleep(faultDuration)
	upstreams[0].faults.active.Store(false)
	time.Sleep(time.Second)
	stop.Store(true)
	clients.Wait()
	runs, twice := make(map[string]int), 0
	for _, u := range upstreams {
		for _, each := range u.runsAfter(time.Time{}) {
			if runs[each.attempt]++; runs[each.attempt] == 2 {
				twice++
			}
		}
	}
	d.record.printf("%d of %d successes are not the upstream's answer; %d attempts that are not idempotent ran more than once",
		mixed.Load(), answered.Load(), twice)
	return mixed.Load() == 0
}
