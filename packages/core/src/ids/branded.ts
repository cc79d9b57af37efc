/** Branded primitive types, which keep ids of different kinds from being mixed up. */

declare const brandKey: unique symbol;

/** A primitive type tagged with the name of the kind of value. */
export type Branded<Value, Name extends string> = Value & {
	readonly [brandKey]: Name;
};
