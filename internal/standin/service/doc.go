// Package service is a stand-in for a plain order and stock service that does not notice repeated orders.
//
//	POST /orders        {"item": "...", "quantity": N} -> Order, counted under its Idempotency-Key
//	GET  /stock/{item}  -> Stock
//	GET  /runs          -> Runs
//	GET  /healthz       200, or 503 while leaving
//	POST /faults        Faults
package service
