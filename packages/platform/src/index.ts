/** The reading side of the platform: values, watches and the host list. */

export {
	PlatformClient,
	type HostList,
	type ListedHost,
	type PlatformClientOptions,
	type PublishedValue,
	type ReadOutcome,
} from './client/platform-client.js';
