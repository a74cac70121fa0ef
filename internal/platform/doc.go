// Package platform is the client of the platform's key-value service and host list.
//
// It keeps within the platform's rates by priority, stops calling for a while when nothing is answered, and says of
// each failed write whether it may have taken effect.
package platform
