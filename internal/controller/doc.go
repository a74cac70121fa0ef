// Package controller makes engines load the models and adapters and take the roles that the configuration states.
//
// In each failure domain the one host that holds the domain's lease does so: it reads the engines' states, compares
// them with the configuration and sends commands for the differences. Commands are declarative and idempotent, so
// repeating one is harmless. They carry the lease's fencing number, so engines that check it refuse a command of an
// earlier holder that arrives late.
package controller
