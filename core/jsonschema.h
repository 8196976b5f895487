#ifndef CACTUSDECK_CORE_JSONSCHEMA_H
#define CACTUSDECK_CORE_JSONSCHEMA_H

#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/error.h"

// Validates JSON files written by hand. Error messages name the file, the path, the value and what
// was expected.
//
//     const JsonSchema schema(schemaText);
//     JsonFaults faults("booking.json");
//     const nlohmann::json value = parseJsonFile(text, faults);   // comments are allowed
//     if (faults.isEmpty())
//         schema.check(value, faults);
//     if (!faults.isEmpty())
//         return faults.error(ErrorKind::InvalidContract);
//
// The "description" of each schema node must say what is expected there, such as "a whole number
// from 1 to 100", since error messages quote it. Only schemas nested by "properties" and "items"
// are supported.

namespace cactusdeck {

// Collects all faults of one file, so that its author can correct them together.
class JsonFaults
{
public:
    explicit JsonFaults(std::string_view file);

    bool isEmpty() const { return this->text.empty(); }
    // The path is a JSON pointer.
    void add(const std::string &path, const std::string &fault);
    // Adds the fault "got <value>, expected <expected>".
    void add(const std::string &path, const nlohmann::json &value, const std::string &expected);
    // One line for each fault, without a line feed at the end.
    const std::string &lines() const { return this->text; }
    // Returns an error whose message has one line for each fault.
    leaf::error_id error(ErrorKind kind) const;

private:
    std::string file;
    std::string text;
};

// Parses JSON text with comments. A key that occurs twice in an object is a fault, since the JSON
// library would silently use the last one.
nlohmann::json parseJsonFile(std::string_view text, JsonFaults &faults);

class JsonSchema
{
public:
    // The text must be a valid schema, since it is part of the program.
    explicit JsonSchema(std::string_view schemaText);
    ~JsonSchema();

    // A key that the schema doesn't name is a fault if the schema forbids additional properties.
    void check(const nlohmann::json &value, JsonFaults &faults) const;
    // Returns the description of the schema node at a path.
    std::string expectedAt(const nlohmann::json::json_pointer &path) const;

private:
    struct Parts;
    std::unique_ptr<const Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_JSONSCHEMA_H
