// Package chat reads and writes the bodies of the OpenAI-compatible chat interface.
package chat
