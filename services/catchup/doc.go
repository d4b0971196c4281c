// Package catchup keeps an entry's copy of a topic of the store up to date with those of the other
// entries: it sends what this entry read, applies what others read, and requests what did not
// arrive.
package catchup
