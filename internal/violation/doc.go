// Package violation lets tests show that a property fails while one protection is switched off.
package violation
