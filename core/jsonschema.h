#ifndef CACTUSDECK_CORE_JSONSCHEMA_H
#define CACTUSDECK_CORE_JSONSCHEMA_H

#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/error.h"

// Validation of JSON files that people write, with errors that name file, path, value and what was
// expected.
//
//     const JsonSchema schema(schemaText);
//     JsonFaults faults("booking.json");
//     const nlohmann::json value = parseJsonFile(text, faults);   // comments are allowed
//     if (faults.isEmpty())
//         schema.check(value, faults);
//     if (!faults.isEmpty())
//         return faults.error(ErrorKind::InvalidContract);
//
// The "description" of each schema node says what is expected there, as in "a whole number from 1
// to 100". Only nested "properties" and "items" are supported in paths.

namespace cactusdeck {

// All faults of one file, so that its author can correct them in one go.
class JsonFaults
{
public:
    explicit JsonFaults(std::string_view file);

    bool isEmpty() const { return this->text.empty(); }
    // path is a JSON pointer.
    void add(const std::string &path, const std::string &fault);
    // "got <value>, expected <expected>"
    void add(const std::string &path, const nlohmann::json &value, const std::string &expected);
    // One line for each fault.
    leaf::error_id error(ErrorKind kind) const;

private:
    std::string file;
    std::string text;
};

// A key that occurs twice in an object is a fault: the library would take the last one.
nlohmann::json parseJsonFile(std::string_view text, JsonFaults &faults);

class JsonSchema
{
public:
    // The text must be a valid schema, since it is part of the program.
    explicit JsonSchema(std::string_view schemaText);
    ~JsonSchema();

    // Keys that the schema doesn't name are faults where it forbids additional properties.
    void check(const nlohmann::json &value, JsonFaults &faults) const;
    // What the schema expects at a path.
    std::string expectedAt(const nlohmann::json::json_pointer &path) const;

private:
    struct Parts;
    std::unique_ptr<const Parts> parts;
};

} // namespace cactusdeck

#endif // CACTUSDECK_CORE_JSONSCHEMA_H
