// Package suspect finds requests that crash backend servers; it does no I/O.
//
// A content is condemned when it ran on two crashed backend servers, the second time after the first crash, and no
// other content can explain the second crash. The verdict waits a moment for news of other crashes: several at once
// have another cause, such as the loss of their host, and condemn nobody.
package suspect
