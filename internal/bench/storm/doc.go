// Package storm measures retries and goodput while a third of the backend servers are down.
package storm
