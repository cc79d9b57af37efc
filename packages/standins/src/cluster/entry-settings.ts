/** Formats the settings file of an entry host. */

import {stringify} from 'smol-toml';
import {
	ports,
	type Endpoint,
	type EntryLocation,
} from '../deployment/address-plan.js';
import type {CertificateFiles} from './certificate-authority.js';

/** A signer of bundles that entry hosts trust, with its public key. */
export type TrustedSigner = {
	readonly signer: string;
	readonly publicKey: string;
};

/** The values of a settings file. */
export type EntrySettingsOptions = {
	readonly entry: EntryLocation;
	readonly platform: Endpoint;
	readonly trusted: readonly TrustedSigner[];
	readonly threshold: number;
	readonly token: string;
	/** The certificate for connections to peers; a host without peers needs none. */
	readonly certificate?: CertificateFiles;
	/** How long a host continues to serve after it announces its shutdown, in milliseconds. */
	readonly leaveMs?: number;
	/** How long its shutdown may take, in milliseconds; the daemon's default if absent. */
	readonly shutdownMs?: number | undefined;
	/** The target selection policy; the daemon's default if absent. */
	readonly choice?: string;
};

/**
 * Gets the settings of an entry host.
 *
 * @param options - The host's addresses, its trusted signers and its limits.
 * @returns The settings as TOML.
 */
export function getEntrySettings(options: EntrySettingsOptions): string {
	const {entry, platform, trusted, threshold, token, certificate} = options;
	const {choice, leaveMs, shutdownMs} = options;
	const {address} = entry;
	return stringify({
		host: entry.host,
		dataCentre: entry.dataCentre,
		callers: {address, port: ports.callers},
		operators: {address, port: ports.operators, token},
		...(certificate !== undefined && {
			peers: {address, port: ports.peers, ...certificate},
		}),
		platform: {addresses: [`http://${platform.address}:${platform.port}`]},
		trust: {threshold, keys: trusted},
		limits: {
			...(leaveMs !== undefined && {leaveMs}),
			...(shutdownMs !== undefined && {shutdownMs}),
		},
		...(choice !== undefined && {decisions: {choice}}),
	});
}
