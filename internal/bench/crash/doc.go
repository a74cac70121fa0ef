// Package crash simulates prompts that crash the backend servers that run them. It measures how many servers one such
// prompt crashes and how many other requests, the bystanders, are wrongly refused as crashing.
package crash
