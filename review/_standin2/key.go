package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["7"] = withdrawnKey }

const (
	revokeMS     = 5000
	configMargin = time.Second // beyond revokeMS
	unheldKey    = "key-that-nobody-holds"
)

// withdrawnKey takes the key of the only tenant away with one version of the configuration, and the tenant, which has none left, with
// the next one.
func withdrawnKey(w *world, trouble bool) []string {
	l := &ledger{}
	w.addServers(modelService, 2, l)
	w.addServers(plainService, 3, l)
	w.configure(baseConfiguration())
	w.addHosts(3)
	w.awaitReady()
	var broken []string
	// send sends an order with a key to each host and reports those that have run though they may not.
	send := func(phase, key string, allowed bool) {
		for i, h := range w.hosts {
			c := &client{record: w.record, host: h}
			id := fmt.Sprintf("%s-%d", phase, i+1)
			a := c.do(request{id: id, key: key, method: http.MethodPost, path: "/orders/" + id, timeoutMS: 4000, body: "two moulds"})
			c.close()
			runs := l.count(id)
			w.record.line("key %s  %s has run %d times", key, id, runs)
			switch {
			case allowed && (a.status != http.StatusOK || runs != 1):
				fail("an order that is allowed got status %d", a.status)
			case !allowed && runs > 0:
				broken = append(broken, fmt.Sprintf("CONFIG, ROUTE: order %s ran at host %s with %s and got status %d", id, h.name, key, a.status))
			}
		}
	}
	send("held", apiKey, true)
	send("unheld", unheldKey, false)
	if !trouble {
		time.Sleep(2 * (revokeMS*time.Millisecond + configMargin))
		send("later", apiKey, true)
		send("unheld-later", unheldKey, false)
		return broken
	}
	without := baseConfiguration()
	without["version"] = 9
	without["tenants"] = []object{{"name": workspace, "apiKeys": []string{}, "priority": 1}}
	w.configure(without)
	w.record.line("version 9 is acknowledged: tenant %s has no key any more", workspace)
	time.Sleep(revokeMS*time.Millisecond + configMargin)
	send("taken", apiKey, false)
	empty := baseConfiguration()
	empty["version"] = 12
	empty["tenants"] = []object{}
	w.configure(empty)
	w.record.line("version 12 is acknowledged: the tenant without keys is gone, tenants is an empty list")
	time.Sleep(revokeMS*time.Millisecond + configMargin)
	send("removed", apiKey, false)
	send("unheld-later", unheldKey, false)
	return broken
}
