// Package chat decodes the requests and defines the response bodies of the OpenAI-compatible chat completions API.
package chat
