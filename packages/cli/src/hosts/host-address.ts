/** The format of host addresses on the command line. */

/** An IP address and a port, as `address:port`. */
export const hostAddressPattern =
	/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/iv;
