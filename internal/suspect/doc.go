// Package suspect finds requests that crash backend servers, from the attempts that were in flight at each crash. It
// does no I/O.
//
// A prompt content, identified by workspace and fingerprint, is quarantined if it ran on two backend servers that
// crashed, the second time after the first crash, and no other content can explain the second crash. Before it decides,
// the tracker waits for reports of other crashes: several crashes at about the same time have another cause, such as
// the failure of their host, and no content is quarantined for them.
package suspect
