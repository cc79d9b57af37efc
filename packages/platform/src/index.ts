/** A read-only client for the platform's values and host list. */

export {
	PlatformClient,
	type HostList,
	type RegisteredHost,
	type PlatformClientOptions,
	type PublishedValue,
	type ReadOutcome,
} from './client/platform-client.js';
