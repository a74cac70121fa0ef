// Package storm measures, in virtual time, the retries and the goodput while a third of the backend servers are down,
// and the goodput after they are back.
package storm
