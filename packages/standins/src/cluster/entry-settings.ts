/** Writes the settings of an entry process. */

import {stringify} from 'smol-toml';
import {
	ports,
	type Endpoint,
	type EntryPlace,
} from '../deployment/address-plan.js';
import type {CertificateFiles} from './certificates.js';

/** A signer whose key the entry hosts trust. */
export type TrustedSigner = {
	readonly signer: string;
	readonly publicKey: string;
};

/** What the settings are made from. */
export type EntrySettingsOptions = {
	readonly place: EntryPlace;
	readonly platform: Endpoint;
	readonly trusted: readonly TrustedSigner[];
	readonly threshold: number;
	readonly token: string;
	/** The host's certificate for peers; a host alone has none. */
	readonly certificate?: CertificateFiles;
	/** How long a leaving host serves on, in milliseconds. */
	readonly leaveMs?: number;
	/** How targets are chosen; the default of the daemon if absent. */
	readonly choice?: string;
};

/**
 * Gets the settings of an entry process.
 *
 * @param options - Where the process runs and whom it trusts.
 * @returns The settings in TOML.
 */
export function getEntrySettings(options: EntrySettingsOptions): string {
	const {place, platform, trusted, threshold, token, certificate} = options;
	const {choice, leaveMs} = options;
	const {address} = place;
	return stringify({
		host: place.host,
		dataCentre: place.dataCentre,
		callers: {address, port: ports.callers},
		operators: {address, port: ports.operators, token},
		...(certificate !== undefined && {
			peers: {address, port: ports.peers, ...certificate},
		}),
		platform: {addresses: [`http://${platform.address}:${platform.port}`]},
		trust: {threshold, keys: trusted},
		...(leaveMs !== undefined && {limits: {leaveMs}}),
		...(choice !== undefined && {decisions: {choice}}),
	});
}
