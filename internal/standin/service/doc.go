// Package service is a stand-in for a plain service that takes orders and reports the stock of items. It does not
// recognize repeated orders: it runs each of them and counts the runs by idempotency key, so that tests can check how
// often an order ran.
//
//	POST /orders        {"item": "...", "quantity": N} -> Order; the run is counted under its Idempotency-Key
//	GET  /stock/{item}  -> Stock
//	GET  /runs          -> Runs
//	GET  /healthz       200, or 503 while leaving
//	POST /faults        Faults
package service
