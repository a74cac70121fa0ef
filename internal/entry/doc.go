// Package entry serves the HTTP API for callers: OpenAI-compatible chat completions, the list of models and calls of
// plain services.
//
// Every response carries the request's id, the host's name and the outcome. Errors have the shape of OpenAI errors.
package entry
