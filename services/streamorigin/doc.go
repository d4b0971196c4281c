// Package streamorigin knows which software version began each resumable stream, so that it is
// continued at no other: what two versions write does not fit together, and servers do not check it.
package streamorigin
