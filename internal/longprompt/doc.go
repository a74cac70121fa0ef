// Package longprompt plans prompts that need the memory of several engines; it does no I/O.
package longprompt
