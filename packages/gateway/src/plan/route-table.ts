/** Finds the route of a request. */

import type {Route} from './routing-plan.js';

const portPattern = /:\d+$/v;

/** The routes of a plan by host, the longest prefix first. */
export class RouteTable {
	readonly #byHost = new Map<string, Route[]>();

	/**
	 * @param routes - The routes of the plan.
	 */
	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const host = route.host.toLowerCase();
			this.#byHost.set(host, [...(this.#byHost.get(host) ?? []), route]);
		}

		for (const [host, ofHost] of this.#byHost) {
			this.#byHost.set(
				host,
				ofHost.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length),
			);
		}
	}

	/**
	 * Gets the route of a request.
	 *
	 * @param host - The value of the `Host` header.
	 * @param url - The path and the query.
	 * @returns The route with the longest prefix of the path; undefined if none fits.
	 */
	getRoute(host: string, url: string): Route | undefined {
		const name = host.toLowerCase();
		const routes =
			this.#byHost.get(name) ?? this.#byHost.get(name.replace(portPattern, ''));
		const path = url.split('?', 1)[0]!;
		return routes?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}
}
