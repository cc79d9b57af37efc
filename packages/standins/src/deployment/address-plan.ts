/** Assigns the loopback addresses of a run: 127.<run>.<data centre>.<host>. */

import net from 'node:net';
import type {Deployment} from './deployment.js';

/** An address and port that a process listens on. */
export type Endpoint = {
	readonly address: string;
	readonly port: number;
};

/** A target's endpoint, service and data centre. */
export type TargetLocation = Endpoint & {
	readonly id: string;
	readonly service: string;
	readonly dataCentre: string;
	/** The index of the data centre from 1, which is the third octet of the address. */
	readonly dataCentreIndex: number;
};

/** An entry host's address and data centre. */
export type EntryLocation = {
	readonly host: string;
	readonly dataCentre: string;
	readonly address: string;
};

/** The ports of every run. Concurrent runs differ in their addresses. */
export const ports = {
	callers: 8080,
	operators: 8081,
	peers: 8082,
	platform: 8090,
	targets: 8100,
	control: 8091,
	claim: 8099,
	metrics: 8125,
} as const;

const minRun = 1;
const maxRun = 250;
const firstEntryOctet = 10;
const firstTargetOctet = 100;

/** The loopback addresses of one run, reserved by a listener on the claim port. */
export class AddressPlan {
	readonly run: number;
	readonly #claim: net.Server;

	private constructor(run: number, claim: net.Server) {
		this.run = run;
		this.#claim = claim;
	}

	/**
	 * Claims the first address range that no other run on this machine uses.
	 *
	 * @returns The addresses of the range.
	 * @throws Error if all ranges are in use.
	 */
	static async claim(): Promise<AddressPlan> {
		for (let run = minRun; run <= maxRun; run++) {
			const claim = await tryListen(`127.${run}.0.1`, ports.claim);
			if (claim !== undefined) {
				return new AddressPlan(run, claim);
			}
		}

		throw new Error(`All ${maxRun} loopback address ranges are in use.`);
	}

	/** The endpoint of the simulated platform. */
	get platform(): Endpoint {
		return {address: `127.${this.run}.0.1`, port: ports.platform};
	}

	/** The endpoint of the targets' control server. */
	get control(): Endpoint {
		return {address: `127.${this.run}.0.1`, port: ports.control};
	}

	/** The local address that callers connect from. */
	get callers(): string {
		return `127.${this.run}.0.2`;
	}

	/**
	 * Gets the address and data centre of an entry host. Hosts are assigned to the
	 * data centres in turn.
	 *
	 * @param deployment - The deployment.
	 * @param index - The index of the host, from 0.
	 * @returns The location of the host.
	 */
	getEntryLocation(deployment: Deployment, index: number): EntryLocation {
		const centreIndex = index % deployment.dataCentres.length;
		return {
			host: `entry-${index + 1}`,
			dataCentre: deployment.dataCentres[centreIndex]!,
			address: `127.${this.run}.${centreIndex + 1}.${firstEntryOctet + index}`,
		};
	}

	/**
	 * Gets the endpoints of all targets. The targets of each service are assigned
	 * to the data centres in turn.
	 *
	 * @param deployment - The deployment.
	 * @returns The locations of the targets.
	 */
	getTargetLocations(deployment: Deployment): TargetLocation[] {
		let index = 0;
		return deployment.services.flatMap((service) =>
			Array.from({length: service.targets}, (_, indexInService) =>
				this.#getTargetLocation(
					deployment,
					service.name,
					indexInService,
					index++,
				),
			),
		);
	}

	/** Releases the address range for other runs. */
	release(): void {
		this.#claim.close();
	}

	#getTargetLocation(
		deployment: Deployment,
		service: string,
		indexInService: number,
		index: number,
	): TargetLocation {
		const centreIndex = indexInService % deployment.dataCentres.length;
		return {
			id: `${service}-${indexInService + 1}`,
			service,
			dataCentre: deployment.dataCentres[centreIndex]!,
			dataCentreIndex: centreIndex + 1,
			address: `127.${this.run}.${centreIndex + 1}.${firstTargetOctet + (index % 100)}`,
			port: ports.targets + Math.floor(index / 100),
		};
	}
}

async function tryListen(
	address: string,
	port: number,
): Promise<net.Server | undefined> {
	const server = net.createServer();
	server.unref();
	return new Promise((resolve) => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, address, () => {
			resolve(server);
		});
	});
}
